//! What targets say about themselves in their responses.
//!
//! A target may know better than its published entry, and it is heard by nodes that are cut off from
//! the platform. See docs/design/platform.md.

use {
    crate::unit::{Error, RequestRate},
    std::{fmt, str::FromStr},
};

/// The limit on its requests per second, from all nodes together, that a target names in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// The target names no limit, so an earlier one no longer holds.
    #[default]
    None,
    /// The target takes this many requests per second.
    Rate(RequestRate),
    /// The limit can't be understood, so that what was known before holds.
    Malformed,
}

/// How long work takes on a target's machine at a moment, in percent of the usual time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pace(u32);

impl Pace {
    /// The usual pace.
    pub const USUAL: Self = Self(100);
    /// The slowest pace that is believed. A target that names a slower one counts as silent.
    const MAX_PERCENT: u32 = 10_000;

    /// Returns the time that work takes, as a multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / f64::from(Self::USUAL.0)
    }

    /// Returns the pace in percent.
    pub const fn percent(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for Pace {
    type Error = Error;

    fn try_from(percent: u32) -> Result<Self, Error> {
        match (1..=Self::MAX_PERCENT).contains(&percent) {
            true => Ok(Self(percent)),
            false => Err(malformed("\"120%\"", &percent.to_string())),
        }
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", self.0)
    }
}

impl FromStr for Pace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let percent = text.strip_suffix('%').unwrap_or(text).parse();
        percent.map_err(|_| malformed("\"120%\"", text)).and_then(u32::try_into)
    }
}

/// The load of a target by its own count.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of requests that may run at a time.
    pub slots: u32,
    /// The pace of the target's machine, if the target names one that can be believed.
    pub pace: Option<Pace>,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{},{},{}", self.running, self.waiting, self.slots)?;
        self.pace.map_or(Ok(()), |pace| write!(f, ",{}", pace.percent()))
    }
}

impl FromStr for Load {
    type Err = Error;

    /// Parses three or four figures that are separated by commas. A fourth figure that is no
    /// [`Pace`] is left out, because the other three still hold.
    fn from_str(text: &str) -> Result<Self, Error> {
        let malformed = || malformed("\"3,0,16\" or \"3,0,16,120\"", text);
        let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
        let mut next = || figures.next().transpose().map_err(|_| malformed());
        let mut required = || next()?.ok_or_else(malformed);
        let (running, waiting, slots) = (required()?, required()?, required()?);
        let pace = next()?.and_then(|percent| percent.try_into().ok());
        match next()? {
            None => Ok(Self { running, waiting, slots, pace }),
            Some(_) => Err(malformed()),
        }
    }
}

fn malformed(expected: &'static str, found: &str) -> Error {
    Error::Malformed { expected, found: found.into() }
}

/// What a target says about itself in one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Announcement {
    /// Whether the target is leaving, so that it gets no new requests.
    pub is_leaving: bool,
    /// How many requests per second the target takes.
    pub limit: Limit,
    /// The load of the target, if it names one that can be understood.
    pub load: Option<Load>,
}
