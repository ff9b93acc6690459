"""What passes between the decisions and whoever hosts them, free of any wire.

`facts` holds what a front is told at its start, `events` what happens to it, `actions` what it asks for.
All times are whole microseconds; ids are opaque.
"""
