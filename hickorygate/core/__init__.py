"""What speaks to no peer: types, time, failures, settings, decisions."""
