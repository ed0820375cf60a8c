"""Licensed copies in the controller: how many are wanted, and the orders that start and stop them.

`control` runs the reconciliation; `copies` plans; `cost` and `demand` measure.
"""
