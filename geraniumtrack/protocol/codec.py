"""CBOR encoding of registered data classes.

A data class is encoded as a CBOR tag over a pair: the class name and the list of field values in
declaration order. Decoding is strict: unknown types and wrong field counts are rejected.
"""

from __future__ import annotations

import dataclasses
import io
from typing import Any, TypeVar

import cbor2

from geraniumtrack.errors import CodecError

__all__ = ["decode", "encode", "message"]

# A tag number from the first-come, first-served range of the IANA CBOR tag registry; only this
# cluster uses it with this meaning.
DATA_CLASS_TAG = 40400
MAX_NESTING_DEPTH = 64
DECODE_REMEDY = "run the same version in all processes"

_message_types: dict[str, type] = {}
_field_names: dict[type, tuple[str, ...]] = {}
T = TypeVar("T")


def message(cls: type[T]) -> type[T]:
    """Registers a frozen data class as a message type, under its class name.

    Raises:
        TypeError: If a class of the same name is already registered.
    """
    if cls.__name__ in _message_types:
        raise TypeError(f"message type {cls.__name__} is registered twice; rename one of them")
    _message_types[cls.__name__] = cls
    _field_names[cls] = tuple(field.name for field in dataclasses.fields(cls))
    return cls


def encode(value: Any) -> bytes:
    """Encodes a value made of plain CBOR types and registered data classes as bytes.

    Raises:
        CodecError: If the value contains a type that cannot be encoded.
    """
    try:
        return cbor2.dumps(value, default=_encode_data_class)
    except (cbor2.CBOREncodeError, TypeError) as exc:
        raise CodecError(
            f"cannot encode value: {exc}", remedy="register its type with @message"
        ) from exc


def decode(data: bytes) -> Any:
    """Decodes bytes written by `encode`; sequences in message fields become tuples.

    Raises:
        CodecError: If the bytes are malformed, or contain an unknown message type.
    """
    stream = io.BytesIO(data)
    try:
        value = cbor2.load(stream, tag_hook=_decode_tag, max_depth=MAX_NESTING_DEPTH)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise CodecError(f"cannot decode message: {exc}", remedy=DECODE_REMEDY) from exc
    if stream.tell() < len(data):
        raise CodecError(
            f"cannot decode message: {len(data) - stream.tell()} bytes follow it",
            remedy=DECODE_REMEDY,
        )
    return value


def _encode_data_class(encoder: cbor2.CBOREncoder, value: Any) -> None:
    field_names = _field_names.get(type(value))
    if field_names is None:
        raise TypeError(f"{type(value).__name__} is not a registered message type")
    body = [type(value).__name__, [getattr(value, name) for name in field_names]]
    encoder.encode(cbor2.CBORTag(DATA_CLASS_TAG, body))


def _decode_tag(tag: cbor2.CBORTag, _immutable: bool) -> Any:
    if tag.tag != DATA_CLASS_TAG:
        raise ValueError(f"unknown CBOR tag {tag.tag}")
    name, values = tag.value
    cls = _message_types.get(name)
    if cls is None:
        raise ValueError(f"unknown message type {name!r}")
    if len(values) != len(_field_names[cls]):
        raise ValueError(f"{name} takes {len(_field_names[cls])} fields, received {len(values)}")
    return cls(*[_freeze(value) for value in values])


def _freeze(value: Any) -> Any:
    if isinstance(value, list):
        return tuple(_freeze(item) for item in value)
    if isinstance(value, dict):
        return {key: _freeze(item) for key, item in value.items()}
    return value


if __name__ == "__main__":

    @message
    @dataclasses.dataclass(frozen=True)
    class Point:
        """Example message: a point in a plane."""

        x: int
        y: int

    print(decode(encode({"at": Point(1, 2)})))
