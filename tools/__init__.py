"""Development tools for hickorygate; not part of the product."""
