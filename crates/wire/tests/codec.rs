//! Property tests of the frame codec.

use bytes::{BufMut as _, BytesMut};
use hickorychute_wire as wire;
use proptest::prelude::*;
use tokio_util::codec::{Decoder as _, Encoder as _};
use wire::messages;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Decodes frames until the first error or the end of the input; must not panic on any input.
fn decode_all(bytes: &[u8]) -> Vec<messages::Envelope> {
    let mut codec = wire::EnvelopeCodec::default();
    let mut buffer = BytesMut::from(bytes);
    let mut decoded = Vec::new();
    while let Ok(Some(envelope)) = codec.decode(&mut buffer) {
        decoded.push(envelope);
    }
    decoded
}

fn envelope(call_id: u64, from: String, body: Vec<u8>) -> messages::Envelope {
    messages::Envelope {
        call_id,
        from,
        body: Some(messages::Body::ReleaseContent(messages::ReleaseContent {
            version: call_id,
            content: body.into(),
        })),
        ..messages::Envelope::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_048)) {
        decode_all(&bytes);
    }

    #[test]
    fn arbitrary_frames_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2_048)) {
        let mut framed = BytesMut::new();
        framed.put_u32(bytes.len() as u32);
        framed.extend_from_slice(&bytes);
        decode_all(&framed);
    }

    #[test]
    fn a_corrupted_frame_never_panics(
        from in ".{0,40}",
        body in proptest::collection::vec(any::<u8>(), 0..256),
        position in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        let mut framed = BytesMut::new();
        wire::EnvelopeCodec::default()
            .encode(envelope(1, from, body), &mut framed)
            .expect("it fits");
        let position = position.index(framed.len());
        framed[position] = value;
        decode_all(&framed);
    }

    #[test]
    fn frames_split_at_any_byte_decode_in_order(
        bodies in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..64), 1..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let sent: Vec<messages::Envelope> = bodies
            .into_iter()
            .enumerate()
            .map(|(number, body)| envelope(number as u64, "a".to_owned(), body))
            .collect();
        let mut framed = BytesMut::new();
        for envelope in sent.clone() {
            wire::EnvelopeCodec::default().encode(envelope, &mut framed).expect("it fits");
        }
        let mut codec = wire::EnvelopeCodec::default();
        let rest = framed.split_off(cut.index(framed.len()));
        let mut buffer = BytesMut::new();
        let mut received = Vec::new();
        for part in [framed, rest] {
            buffer.extend_from_slice(&part);
            while let Some(envelope) = codec.decode(&mut buffer).expect("the frames are whole") {
                received.push(envelope);
            }
        }
        prop_assert_eq!(received, sent);
    }
}

#[test]
fn an_oversized_frame_is_rejected_before_it_is_buffered() {
    let mut codec = wire::EnvelopeCodec::default();
    let mut buffer = BytesMut::new();
    buffer.put_u32(wire::MAX_FRAME_BYTES as u32 + 1);
    assert!(codec.decode(&mut buffer).is_err());
    assert!(buffer.capacity() < wire::MAX_FRAME_BYTES);
}
