"""Hot restart: a running broker process hands its work over to its successor without a break."""
