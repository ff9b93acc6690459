"""The live front: `engine` feeds the decisions and is free of I/O; shells on sockets stand round it."""
