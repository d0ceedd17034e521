//! A client of the nodes' admin API.

use {crate::error::Error, awc::Client, serde_json::Value, std::time::Duration};

const TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum size of a response body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Fetches a JSON document from the admin API of a node.
///
/// # Errors
///
/// Returns an error if the node doesn't answer in time, answers with another status than success,
/// or doesn't answer with JSON.
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

/// Fetches a JSON document as [`get`] does, and blocks until it is there.
///
/// # Errors
///
/// Returns the errors of [`get`].
pub fn get_blocking(address: &str, path_and_query: &str) -> Result<Value, Error> {
    actix_rt::System::new().block_on(get(address, path_and_query))
}

/// Formats a document as YAML, or as indented JSON.
///
/// # Errors
///
/// Returns an error if the document can't be serialized.
pub fn format(value: &Value, json: bool) -> Result<String, Error> {
    if json {
        let text = serde_json::to_string_pretty(value);
        return text.map_err(|error| Error::Format(error.to_string()));
    }
    let text = serde_saphyr::to_string(value).map_err(|error| Error::Format(error.to_string()))?;
    Ok(text.trim_end().to_owned())
}
