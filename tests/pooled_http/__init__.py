"""Tests of the checks of responses that urllib3 reads."""
