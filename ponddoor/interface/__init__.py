"""The interface between a front's decisions and their host, independent of any wire format.

`facts` is a front's configuration, `events` are its inputs and `actions` its outputs; `words` are the
messages between fronts. All times are whole microseconds; ids are opaque numbers.
"""
