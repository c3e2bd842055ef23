"""Core of the SQL session proxy: sessions, links, reads and promotions."""
