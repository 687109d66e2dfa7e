"""Code that both roles share: process lifecycle, logging, RPC clients and status pages."""
