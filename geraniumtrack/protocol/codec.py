"""CBOR encoding of registered data classes.

A data class travels as a tagged pair of its type name and its field values. Decoding is strict:
unknown types, wrong field counts and trailing bytes are refused.
"""

from __future__ import annotations

import dataclasses
from typing import Any, TypeVar

import cbor2

from geraniumtrack.errors import CodecError

__all__ = ["decode", "encode", "message"]

# From the first-come range of the CBOR tag registry, private to this cluster.
DATA_CLASS_TAG = 40400
MAX_DEPTH = 64  # nested containers

_types: dict[str, type] = {}
_fields: dict[type, tuple[str, ...]] = {}
T = TypeVar("T")


def message(cls: type[T]) -> type[T]:
    """Registers a frozen data class under its own name.

    Raises:
        TypeError: If another class of that name is registered.
    """
    if cls.__name__ in _types:
        raise TypeError(f"message type {cls.__name__} is registered twice; rename one of them")
    _types[cls.__name__] = cls
    _fields[cls] = tuple(field.name for field in dataclasses.fields(cls))
    return cls


def encode(value: Any) -> bytes:
    """Encodes plain values and registered data classes.

    Raises:
        CodecError: If a value has no encoding.
    """
    try:
        return cbor2.dumps(value, default=_encode_data_class)
    except (cbor2.CBOREncodeError, TypeError) as exc:
        raise CodecError(f"value cannot be encoded: {exc}", remedy="register its type") from exc


def decode(data: bytes) -> Any:
    """Decodes bytes written by `encode`; sequences come back as tuples.

    Raises:
        CodecError: If the bytes are malformed or name an unknown type.
    """
    try:
        return cbor2.loads(data, tag_hook=_decode_tag, max_depth=MAX_DEPTH)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise CodecError(
            f"bytes are not a known message: {exc}", remedy="run the same version on all nodes"
        ) from exc


def _encode_data_class(encoder: cbor2.CBOREncoder, value: Any) -> None:
    names = _fields.get(type(value))
    if names is None:
        raise TypeError(f"{type(value).__name__} is not a registered message type")
    body = [type(value).__name__, [getattr(value, name) for name in names]]
    encoder.encode(cbor2.CBORTag(DATA_CLASS_TAG, body))


def _decode_tag(tag: cbor2.CBORTag, _immutable: bool) -> Any:
    if tag.tag != DATA_CLASS_TAG:
        raise ValueError(f"unknown tag {tag.tag}")
    name, values = tag.value
    cls = _types.get(name)
    if cls is None:
        raise ValueError(f"unknown message type {name!r}")
    if len(values) != len(_fields[cls]):
        raise ValueError(f"{name} has {len(_fields[cls])} fields, {len(values)} received")
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
        """A pair of coordinates."""

        x: int
        y: int

    print(decode(encode({"at": Point(1, 2)})))
