//! Log events of platform connections, numbers 6100 to 6199.

kernel::declare_events! {
    /// A response carried the ID of another attempt.
    ANSWER_CROSSED = (6100, "platform-answer-crossed", Warn, "An upstream response carried the ID of another attempt and was dropped. Look for a proxy or upstream that mixes up connections.");
    /// A response was not framed, so truncation could not be detected.
    ANSWER_UNMARKED = (6101, "platform-answer-unmarked", Warn, "A response had neither a content length nor chunked encoding, so truncation could not be detected, and was dropped. Configure the upstream to send one of them.");
}
