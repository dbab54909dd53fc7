"""Tools for working on hickorygate; not part of the product."""
