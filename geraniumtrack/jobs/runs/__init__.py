"""The owner's dealings with workers: sessions, orders, reports, crashes and health."""
