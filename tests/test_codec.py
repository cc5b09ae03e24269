"""The CBOR codec: messages survive a round trip, and damaged bytes are refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from geraniumtrack.errors import CodecError
from geraniumtrack.protocol.codec import decode, encode
from geraniumtrack.state.journal import HardState


@given(term=st.integers(0, 2**40), voted_for=st.text(), rest=st.binary(min_size=1, max_size=20))
def test_bytes_after_a_message_are_refused(term, voted_for, rest):
    """Guards against a message that is accepted although its sender wrote something else."""
    message = HardState(term, voted_for)
    assert decode(encode(message)) == message
    with pytest.raises(CodecError):
        decode(encode(message) + rest)


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused_with_a_codec_error(data):
    """Guards against a process that ends because of bytes that are no message."""
    try:
        decode(data)
    except CodecError as exc:
        assert exc.remedy
