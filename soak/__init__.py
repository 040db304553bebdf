"""Randomized fault soak: node processes under faults from outside, judged by what others see."""
