"""Code that talks to no peer: types, time, failures, settings, decisions."""
