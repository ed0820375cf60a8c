"""Tests run as the programs do: with the blocking calls of the standard library made cooperative."""

from gevent import monkey

monkey.patch_all()
