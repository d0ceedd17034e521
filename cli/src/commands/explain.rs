//! `monsoonctl explain`: says what a node would decide on a request, and why.

use {
    crate::{
        error::{EXIT_FOUND, Error},
        node,
    },
    argh::FromArgs,
    serde_json::Value,
    std::process::ExitCode,
};

/// Says what a node would decide on a request, and why, without running it.
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
    /// the client account; leave it out for a caller without a key
    #[argh(option)]
    account: Option<String>,
    /// print JSON for programs
    #[argh(switch)]
    json: bool,
    /// the HTTP method
    #[argh(positional)]
    method: String,
    /// the path, without a query
    #[argh(positional)]
    path: String,
}

impl Explain {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails where the node doesn't answer.
    pub fn run(self) -> Result<ExitCode, Error> {
        let mut query = format!("method={}&path={}", escape(&self.method), escape(&self.path));
        if let Some(account) = &self.account {
            query.push_str(&format!("&account={}", escape(account)));
        }
        let explained = node::ask(&self.node, &format!("/explain?{query}"))?;
        println!("{}", node::text(&explained, self.json)?);
        let is_refused = !matches!(explained.get("refusal"), None | Some(Value::Null));
        Ok(if is_refused { ExitCode::from(EXIT_FOUND) } else { ExitCode::SUCCESS })
    }
}

/// Escapes everything in a query's value that is not plain in every URL.
fn escape(text: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte);
    let escape = |byte: u8| match is_plain(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    };
    text.bytes().map(escape).collect()
}
