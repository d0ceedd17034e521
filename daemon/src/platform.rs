//! Read-only client of the platform's configuration service.

use {
    awc::{Client, http::StatusCode},
    monsoon_lib::{
        config::{Difference, ReadError, Value},
        id,
        member::{Listing, Vm},
        unit::Revision,
    },
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Time limit of a read beyond the time for which the platform may hold it.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

#[derive(Deserialize)]
struct WireValues {
    revision: u64,
    #[serde(default)]
    reset: bool,
    values: Vec<WireValue>,
}

#[derive(Deserialize)]
struct WireValue {
    name: String,
    revision: u64,
    text: Option<String>,
}

#[derive(Deserialize)]
struct WireVms {
    vms: Vec<WireVm>,
}

#[derive(Deserialize)]
struct WireVm {
    vm: id::Vm,
    data_centre: id::DataCentre,
    address: SocketAddr,
    state: WireState,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WireState {
    Live,
    Leaving,
}

impl From<WireVm> for Vm {
    fn from(vm: WireVm) -> Self {
        let state = match vm.state {
            WireState::Live => Listing::Live,
            WireState::Leaving => Listing::Leaving,
        };
        Self { vm: vm.vm, data_centre: vm.data_centre, address: vm.address, state }
    }
}

impl From<WireValue> for Value {
    fn from(value: WireValue) -> Self {
        Self { name: value.name, revision: Revision(value.revision), text: value.text }
    }
}

/// The client of the configuration service.
#[derive(Clone)]
pub struct Platform {
    client: Client,
    address: SocketAddr,
}

impl Platform {
    /// Creates a client. It connects on the first read.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::builder().disable_redirects().finish(), address }
    }

    async fn get<T: for<'de> Deserialize<'de>>(
        &self,
        path: &str,
        wait: Duration,
    ) -> Result<T, ReadError> {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.get(url).timeout(wait + READ_TIMEOUT_MARGIN);
        let mut response = request.send().await.map_err(|_| ReadError::Failed)?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::TOO_MANY_REQUESTS => return Err(ReadError::TooMany),
            _ => return Err(ReadError::Failed),
        }
        let body =
            response.body().limit(MAX_RESPONSE_BYTES).await.map_err(|_| ReadError::Failed)?;
        serde_json::from_slice(&body).map_err(|_| ReadError::Failed)
    }

    /// Reads the values that changed after a revision. This is a long poll: the platform may hold
    /// the read for `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform refuses the read or gives no valid response.
    pub async fn values(&self, after: Revision, wait: Duration) -> Result<Difference, ReadError> {
        let path = format!("/v1/values?after={}&wait_ms={}", after.0, wait.as_millis());
        let response: WireValues = self.get(&path, wait).await?;
        Ok(Difference {
            revision: Revision(response.revision),
            reset: response.reset,
            values: response.values.into_iter().map(Value::from).collect(),
        })
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform refuses the read or gives no valid response.
    pub async fn vms(&self) -> Result<Vec<Vm>, ReadError> {
        let response: WireVms = self.get("/v1/vms", Duration::ZERO).await?;
        Ok(response.vms.into_iter().map(Vm::from).collect())
    }
}
