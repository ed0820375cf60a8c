"""Licensed copies in the controller: how many are wanted, and the orders that start and stop them.

`controller` runs the reconciliation; `planner` plans; `cost` and `demand` measure.
"""
