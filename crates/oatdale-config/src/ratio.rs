//! Parts of a whole as operators write them.

use snafu::Snafu;
use std::str::FromStr;

/// A part of a whole from 0 to 1, written `5%` or `0.05`.
#[derive(Clone, Copy, PartialEq, PartialOrd, Debug)]
pub struct Ratio(pub f64);

/// Why a word is no part of a whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
pub enum ParseRatioError {
    /// It is over 100%.
    #[snafu(display("over 100%: write a percentage such as `5%`, or a part of 1 such as `0.05`"))]
    TooLarge,
    /// It is negative or no number.
    #[snafu(display(
        "not a part of a whole: write a percentage such as `5%`, or a part of 1 such as `0.05`"
    ))]
    NoRatio,
}

impl FromStr for Ratio {
    type Err = ParseRatioError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (digits, scale) = match text.strip_suffix('%') {
            Some(digits) => (digits.trim_end(), 100.0),
            None => (text, 1.0),
        };
        match digits.parse::<f64>().map(|value| value / scale) {
            Ok(value) if (0.0..=1.0).contains(&value) => Ok(Ratio(value)),
            Ok(value) if value > 1.0 => Err(ParseRatioError::TooLarge),
            _ => Err(ParseRatioError::NoRatio),
        }
    }
}
