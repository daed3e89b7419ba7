"""Decisions under load for planned services: waiting, order, room, costs and shares."""
