"""Daemons with one mechanism disabled; the tests must fail against them."""
