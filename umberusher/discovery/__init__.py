"""The client of the discovery service, which follows the endpoint list by long polls."""
