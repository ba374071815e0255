"""Proofs over real processes; docs/PROOFS.md lists them."""
