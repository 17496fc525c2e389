"""Mutants of the checks of input from outside, and of what follows an unreadable one."""

from bench.mutations import Mutant

INPUTS = "test_operator_inputs.py"
JSON = "test_strict_json.py"
UNREADABLE = "test_unreadable_configurations.py"
HTTP = "test_http.py"
ODD_REGISTRATIONS = "test_odd_registrations.py"
INPUT_MUTANTS = (
    Mutant(
        "inputs: an unknown service with a later start keeps its address",
        "flows/upstreams.py",
        "        return self.is_known(registration.service_name), *version_of(registration)\n",
        "        return version_of(registration)\n",
        f"{ODD_REGISTRATIONS}::TestTakenAddresses",
    ),
    Mutant(
        "inputs: registrations that were left out are not requested again",
        "entry.py",
        "            self.subscriptions.request_all()\n",
        "            pass\n",
        f"{ODD_REGISTRATIONS}::TestTakenAddresses",
    ),
    Mutant(
        "inputs: a sequence far ahead hides the heartbeats of a target",
        "flows/registrations.py",
        "    if calls > MAX_CALLS_PER_SECOND * (elapsed_seconds + 1):\n",
        "    if False:\n",
        f"{ODD_REGISTRATIONS}::TestTakenAddresses",
    ),
    Mutant(
        "inputs: a copied start under another name takes an address",
        "flows/registrations.py",
        "    if registration.name != current.name:\n",
        "    if False:\n",
        f"{ODD_REGISTRATIONS}::TestTakenAddresses",
    ),
    Mutant(
        "inputs: registrations that can't be encoded are accepted",
        "platform/heartbeats.py",
        "    reason = find_error(registration)\n",
        '    reason = ""\n',
        f"{INPUTS}::TestAcknowledged::test_heartbeat",
    ),
    Mutant(
        "inputs: strings with lone surrogates count as encodable",
        "schema/encodable.py",
        "    try:\n        value.encode()\n",
        "    try:\n        pass\n",
        "test_encodable.py",
    ),
    Mutant(
        "inputs: the items of a list are not checked",
        "schema/encodable.py",
        "    reasons = (CHECKS[item_type](item, item_detail) for item in value)\n",
        "    reasons = ()\n",
        "test_encodable.py",
    ),
    Mutant(
        "inputs: configurations are accepted without reading their routes",
        "platform/documents.py",
        "    check_routes(value)\n    return document\n",
        "    return document\n",
        f"{JSON}::TestReading",
    ),
    Mutant(
        "inputs: integers of any size are accepted",
        "platform/documents.py",
        "    return minimum <= value <= MAX_INTEGER\n",
        "    return minimum <= value\n",
        f"{JSON}::TestNumbers",
    ),
    Mutant(
        "inputs: strings and numbers of JSON are not checked",
        "platform/strict_json.py",
        "    check_values(value)\n",
        "",
        JSON,
    ),
    Mutant(
        "inputs: repeated keys are accepted",
        "platform/strict_json.py",
        "    if len(members) < len(pairs):\n",
        "    if False:\n",
        JSON,
    ),
    Mutant(
        "inputs: an unknown service beside weighted backends is accepted",
        "platform/documents.py",
        '    return services + [backend["service"] for backend in weighted]\n',
        '    return [backend["service"] for backend in weighted]\n',
        "test_platform_configurations.py",
    ),
    Mutant(
        "inputs: an unreadable configuration counts as applied",
        "coordination/dissemination.py",
        "            self.applied = earlier\n            self.unreadable_revision",
        "            self.unreadable_revision",
        UNREADABLE,
    ),
    Mutant(
        "inputs: an unreadable configuration is tried again and again",
        "coordination/dissemination.py",
        "            self.unreadable_revision = self.held.revision\n",
        "",
        UNREADABLE,
    ),
    Mutant(
        "inputs: an answer to HEAD has a body",
        "daemon/http_connection.py",
        '    if response.body and not (head and head.method == b"HEAD"):\n',
        "    if response.body:\n",
        f"{HTTP}::TestHead",
    ),
    Mutant(
        "inputs: an answer may take any time to write",
        "daemon/http_connection.py",
        "    with trio.fail_after(WRITE_TIMEOUT_SECONDS):\n",
        "    with trio.CancelScope():\n",
        f"{HTTP}::TestBadRequests",
    ),
    Mutant(
        "inputs: an entry of a list without a usable address is not left out",
        "flows/upstreams.py",
        "    except ValueError:\n        return None\n",
        "    except TypeError:\n        return None\n",
        f"{ODD_REGISTRATIONS}::TestLists",
    ),
    Mutant(
        "inputs: an unknown service takes the address of an upstream",
        "flows/registrations.py",
        '        return "" if is_new_known else reason\n',
        '        return ""\n',
        f"{ODD_REGISTRATIONS}::TestTakenAddresses",
    ),
    Mutant(
        "inputs: a heartbeat may lack the version",
        "platform/heartbeats.py",
        '    "version": read_string,\n',
        "",
        "test_odd_heartbeats.py",
    ),
    Mutant(
        "inputs: an upstream may announce an address of no host",
        "utils/addresses.py",
        "    if ip in THIS_NETWORK or ip.is_multicast or ip.is_reserved:",
        "    if False:",
        "test_odd_heartbeats.py",
    ),
)
