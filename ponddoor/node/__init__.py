"""The program of a node on the operators' platform: the platform's protocols around the engine."""
