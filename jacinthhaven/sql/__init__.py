"""Decisions of the SQL session proxy: sessions, links, reads, promotion."""
