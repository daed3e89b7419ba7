"""Test replicas that return after the group went on without them."""

from marjorambridge.conf import defaults

from .fleet import Fleet

# Time in which a replica that is back is a voter again.
CATCH_UP_SECONDS = 4.0


def find_leader(fleet):
    return next(n for n, host in fleet.hosts.items() if host.disk and fleet.control(n).is_leader)


def list_voters(fleet):
    return set(fleet.control(find_leader(fleet)).members)


def test_a_voter_that_was_removed_while_it_was_cut_off_joins_again():
    """Guard against a replica that stays out for good, so that later losses stop all changes."""
    fleet = Fleet(replicas=5, gateways=0)
    fleet.run(3.0)
    lost, cut_off = [name for name in fleet.hosts if name != find_leader(fleet)][:2]
    fleet.disconnected.add(cut_off)
    fleet.kill(lost, wipe=True)
    fleet.run(defaults.UNRESPONSIVE_VOTER_SECONDS + 0.5)
    # The identity of the lost disk is removed, and then the other one of an even number of voters.
    fleet.start(lost)
    fleet.run(CATCH_UP_SECONDS)
    assert cut_off not in list_voters(fleet)
    fleet.disconnected.clear()
    fleet.run(CATCH_UP_SECONDS)
    assert list_voters(fleet) == set(fleet.hosts)


def test_replicas_without_a_leader_elect_one_and_keep_their_members():
    """Guard against requests to join that disturb an election after a restart of all replicas."""
    fleet = Fleet(replicas=5, gateways=0)
    fleet.run(3.0)
    for name in fleet.hosts:
        fleet.kill(name)
    for name in list(fleet.hosts)[:3]:
        fleet.start(name)
    fleet.run(CATCH_UP_SECONDS)
    assert list_voters(fleet) == set(fleet.hosts)
    for name in list(fleet.hosts)[3:]:
        fleet.start(name)
    fleet.run(CATCH_UP_SECONDS)
    assert list_voters(fleet) == set(fleet.hosts)
