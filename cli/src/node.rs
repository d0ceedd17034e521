//! Questions to nodes over their admin addresses.

use {crate::error::Error, awc::Client, serde_json::Value, std::time::Duration};

const TIMEOUT: Duration = Duration::from_secs(3);
/// The largest dump that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Asks one node for a JSON document.
///
/// # Errors
///
/// Fails where the node doesn't answer in time, or not with JSON.
pub async fn get(address: &str, path_and_query: &str) -> Result<Value, Error> {
    let no_answer = |reason: String| Error::NoAnswer { address: address.into(), reason };
    let client = Client::builder().timeout(TIMEOUT).finish();
    let request = client.get(format!("http://{address}{path_and_query}"));
    let mut response = request.send().await.map_err(|error| no_answer(error.to_string()))?;
    if !response.status().is_success() {
        let status = response.status().as_u16();
        return Err(Error::Status { address: address.into(), status });
    }
    let body = response.json::<Value>().limit(MAX_BODY_BYTES).await;
    body.map_err(|error| no_answer(error.to_string()))
}

/// Asks one node, where the command is not asynchronous itself.
///
/// # Errors
///
/// Fails as [`get`] does.
pub fn ask(address: &str, path_and_query: &str) -> Result<Value, Error> {
    actix_rt::System::new().block_on(get(address, path_and_query))
}

/// Writes a document for a person, as YAML, or for a program, as JSON.
///
/// # Errors
///
/// Fails where the document can't be written in the form.
pub fn text(value: &Value, json: bool) -> Result<String, Error> {
    if json {
        let text = serde_json::to_string_pretty(value);
        return text.map_err(|error| Error::Format(error.to_string()));
    }
    let text = serde_saphyr::to_string(value).map_err(|error| Error::Format(error.to_string()))?;
    Ok(text.trim_end().to_owned())
}
