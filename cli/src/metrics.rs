//! Reads lines of metrics in the Prometheus text format.

use std::collections::BTreeMap;

/// The value of one series.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The name of the metric.
    pub name: String,
    /// The values of the labels by their names.
    pub labels: BTreeMap<String, String>,
    /// The value.
    pub value: f64,
}

/// Why a line can't be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The line is not UTF-8.
    #[error("the line is not UTF-8")]
    Encoding,
    /// The line does not begin with the name of a metric.
    #[error("the line does not begin with the name of a metric")]
    Name,
    /// The labels are not of the form `{name="value",...}`.
    #[error("malformed labels; they have the form {{name=\"value\",...}}")]
    Labels,
    /// The value is missing.
    #[error("{0} has no value")]
    NoValue(String),
    /// The value or timestamp is not a number.
    #[error("{0:?} is not a number")]
    Number(String),
    /// There is more behind the value and the timestamp.
    #[error("unexpected text behind the value: {0:?}")]
    Trailing(String),
    /// A label that the metric always has is missing.
    #[error("{metric} has no label {label}")]
    MissingLabel {
        /// The name of the metric.
        metric: String,
        /// The name of the label.
        label: &'static str,
    },
    /// The series stands in the text twice.
    #[error("{0} is given twice")]
    Repeated(String),
}

impl Sample {
    /// Reads a line. Returns none for comments and blank lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is neither a comment nor a sample.
    pub fn parse(line: &[u8]) -> Result<Option<Self>, Error> {
        let line = std::str::from_utf8(line).map_err(|_| Error::Encoding)?.trim();
        if line.is_empty() || line.starts_with('#') {
            return Ok(None);
        }
        let name_end = line.find(|character| !is_name_char(character)).unwrap_or(line.len());
        let (name, rest) = line.split_at(name_end);
        if name.is_empty() || name.starts_with(|first: char| first.is_ascii_digit()) {
            return Err(Error::Name);
        }
        let (labels, rest) = match rest.trim_start().strip_prefix('{') {
            Some(rest) => parse_labels(rest)?,
            None => (BTreeMap::new(), rest),
        };
        let mut words = rest.split_whitespace();
        let value = words.next().ok_or_else(|| Error::NoValue(name.to_owned()))?;
        let value = value.parse().map_err(|_| Error::Number(value.to_owned()))?;
        if let Some(timestamp) = words.next() {
            timestamp.parse::<i64>().map_err(|_| Error::Number(timestamp.to_owned()))?;
        }
        match words.next() {
            Some(word) => Err(Error::Trailing(word.to_owned())),
            None => Ok(Some(Self { name: name.to_owned(), labels, value })),
        }
    }

    /// Returns the value of a label that the metric always has.
    ///
    /// # Errors
    ///
    /// Returns an error if the label is missing.
    pub fn label(&self, label: &'static str) -> Result<&str, Error> {
        let value = self.labels.get(label).map(String::as_str);
        value.ok_or_else(|| Error::MissingLabel { metric: self.name.clone(), label })
    }
}

fn is_name_char(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '_' | ':')
}

/// Reads labels up to the closing brace. Returns them and the text behind the brace.
fn parse_labels(mut rest: &str) -> Result<(BTreeMap<String, String>, &str), Error> {
    let mut labels = BTreeMap::new();
    loop {
        rest = rest.trim_start();
        if let Some(rest) = rest.strip_prefix('}') {
            return Ok((labels, rest));
        }
        let (name, quoted) = rest.split_once('=').ok_or(Error::Labels)?;
        let name = name.trim();
        if name.is_empty() || !name.chars().all(is_name_char) {
            return Err(Error::Labels);
        }
        let quoted = quoted.trim_start().strip_prefix('"').ok_or(Error::Labels)?;
        let (value, behind) = parse_quoted(quoted)?;
        if labels.insert(name.to_owned(), value).is_some() {
            return Err(Error::Labels);
        }
        let behind = behind.trim_start();
        rest = match behind.strip_prefix(',') {
            Some(rest) => rest,
            None if behind.starts_with('}') => behind,
            None => return Err(Error::Labels),
        };
    }
}

/// Reads the value of a label up to the closing quote. Returns it and the text behind the quote.
fn parse_quoted(text: &str) -> Result<(String, &str), Error> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, character)) = chars.next() {
        match character {
            '"' => return Ok((value, &text[index + 1..])),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, escaped @ ('\\' | '"'))) => value.push(escaped),
                _ => return Err(Error::Labels),
            },
            _ => value.push(character),
        }
    }
    Err(Error::Labels)
}

#[cfg(test)]
mod tests {
    use super::{Error, Sample};

    /// Guards against values that are assigned to the wrong series, and against lines that are
    /// passed over or half read.
    #[test]
    fn lines() {
        let parse = |line: &str| Sample::parse(line.as_bytes());
        let line = r#"monsoon_pool_demand{pool="a\"}\\b,c",} 2.5 1700"#;
        let sample = parse(line).expect("the line is valid").expect("it has a value");
        assert_eq!((sample.label("pool"), sample.value), (Ok(r#"a"}\b,c"#), 2.5));
        let sample = parse("x_bucket{le=\"+Inf\"} +Inf").expect("valid").expect("a value");
        assert_eq!(sample.value, f64::INFINITY);
        assert_eq!(parse("# HELP x 1"), Ok(None));
        assert_eq!(parse("  \r"), Ok(None));
        assert_eq!(parse("x"), Err(Error::NoValue("x".into())));
        assert_eq!(parse("x one"), Err(Error::Number("one".into())));
        assert_eq!(parse("x 1 2 3"), Err(Error::Trailing("3".into())));
        assert_eq!(parse("{\"event\":1}"), Err(Error::Name));
        for labels in
            ["{a=\"1\"", "{a=\"1}", "{a=1}", "{=\"1\"}", "{a=\"1\"b=\"2\"}", "{a=\"\\t\"}"]
        {
            assert_eq!(parse(&format!("x{labels} 1")), Err(Error::Labels), "{labels}");
        }
        assert_eq!(Sample::parse(b"x\xff 1"), Err(Error::Encoding));
    }
}
