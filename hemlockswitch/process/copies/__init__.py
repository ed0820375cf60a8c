"""Licensed copies, in the controller: how many are wanted, and the orders that bring them.

`control` compares and orders; `copies` plans; `cost` and `demand` weigh.
"""
