"""Tests of the guarantees on real processes; docs/PROOFS.md lists them."""
