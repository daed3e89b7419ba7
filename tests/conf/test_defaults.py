"""Guard against two constants of the same name, of which the later replaces the earlier."""

import ast
import gc
import inspect

from marjorambridge.conf import defaults


def test_each_default_is_assigned_once():
    # A finalizer that runs during the call and is reported breaks it in Python 3.11.
    gc.collect()
    tree = ast.parse(inspect.getsource(defaults))
    names = [
        target.id
        for node in tree.body
        if isinstance(node, ast.Assign | ast.AnnAssign)
        for target in (node.targets if isinstance(node, ast.Assign) else [node.target])
    ]
    assert sorted(names) == sorted(set(names))
