"""The names of `msgpack` that the program uses, without its Python version."""

# The extension module imports these two by itself.
import msgpack.exceptions
import msgpack.ext
import msgpack._cmsgpack

# Names of an extension module.
# pylint: disable=c-extension-no-member,protected-access

Packer = msgpack._cmsgpack.Packer
unpackb = msgpack._cmsgpack.unpackb
UnpackException = msgpack.exceptions.UnpackException


def packb(value, **options):
    """Returns the encoding of a value."""
    return Packer(**options).pack(value)
