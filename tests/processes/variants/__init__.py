"""Daemons with one mechanism switched off; the proofs must fail against them."""
