//! What a request has used so far.

use oatdale_config::Price;
use oatdale_journal::MicroUnits;
use oatdale_platform::chat::Usage;

/// Tokens and price of a request, over all steps of its cascade.
///
/// A step whose whole answer came is charged even when a better version answers in the end: the
/// steps are chosen so that their sum is the least to be expected. Attempts that an endpoint broke
/// off are not charged.
#[derive(Clone, PartialEq, Debug, Default)]
pub(crate) struct Cost {
    /// The version that answered last.
    pub(crate) version: Option<String>,
    /// Tokens of prompt.
    pub(crate) input_tokens: u64,
    /// Generated tokens.
    pub(crate) output_tokens: u64,
    /// Millionths of the currency unit; prices are per million tokens, so tokens times price.
    micros: f64,
}

impl Cost {
    /// Adds a step.
    pub(crate) fn add(&mut self, version: &str, price: Price, usage: Usage) {
        self.version = Some(version.to_owned());
        self.input_tokens += u64::from(usage.prompt_tokens);
        self.output_tokens += u64::from(usage.completion_tokens);
        self.micros += f64::from(usage.prompt_tokens) * price.input
            + f64::from(usage.completion_tokens) * price.output;
    }

    /// The sum, rounded to the nearest millionth.
    pub(crate) fn price(&self) -> MicroUnits {
        // A float to integer cast saturates; no request costs that much.
        MicroUnits(self.micros.round() as u64)
    }
}
