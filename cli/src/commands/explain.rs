//! `monsoonctl explain`: shows a node's decision on a request and the reason.

use {
    crate::{
        error::{EXIT_FAULT, Error},
        node,
    },
    argh::FromArgs,
    serde_json::Value,
    std::process::ExitCode,
};

/// Shows what a node would decide on a request, and why, without sending the request.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} --node 127.0.0.1:9001 --account chonburi POST /bench/bookings",
    note = "Exits with 1 where the request would be refused."
)]
pub struct Explain {
    /// the admin address of the node
    #[argh(option)]
    node: String,
    /// the client account; omit it for a caller without a key
    #[argh(option)]
    account: Option<String>,
    /// print JSON instead of YAML
    #[argh(switch)]
    json: bool,
    /// the HTTP method
    #[argh(positional)]
    method: String,
    /// the path, without a query string
    #[argh(positional)]
    path: String,
}

impl Explain {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the node doesn't answer.
    pub fn run(self) -> Result<ExitCode, Error> {
        let mut query =
            format!("method={}&path={}", percent_encode(&self.method), percent_encode(&self.path));
        if let Some(account) = &self.account {
            query.push_str(&format!("&account={}", percent_encode(account)));
        }
        let explanation = node::get_blocking(&self.node, &format!("/explain?{query}"))?;
        println!("{}", node::format(&explanation, self.json)?);
        let is_refused = !matches!(explanation.get("refusal"), None | Some(Value::Null));
        Ok(if is_refused { ExitCode::from(EXIT_FAULT) } else { ExitCode::SUCCESS })
    }
}

/// Percent-encodes a value for a query string, except for `/` and the unreserved characters of
/// RFC 3986.
fn percent_encode(text: &str) -> String {
    let is_unescaped = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    let encode_byte = |byte: u8| match is_unescaped(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    };
    text.bytes().map(encode_byte).collect()
}
