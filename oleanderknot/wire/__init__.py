"""Thrift encoding of the messages between nodes."""

from oleanderknot import lazy_exports

# Public names by the module that defines them.
MODULES = {
    'bad_frame': ('BadFrame',),
    'codec': ('Codec', 'encode', 'MAX_FRAME_BYTES'),
    'frame_reader': ('FrameReader',),
    'gen.peer.ttypes': (
        'Cancel',
        'Chunk',
        'Credit',
        'Failure',
        'Frame',
        'Goodbye',
        'Gossip',
        'Head',
        'Hello',
        'KeyQuery',
        'KeyState',
        'Member',
        'MemberVersion',
        'Open',
        'Ping',
        'PolicyDigest',
        'PolicySync',
        'Pong',
        'QuotaGrant',
        'QuotaRequest',
        'ScopeState',
    ),
    'gossip': (
        'hashes_from_wire',
        'hashes_to_wire',
        'version_from_wire',
        'version_to_wire',
    ),
    'key_state': ('build_key_state', 'parse_key_state'),
    'translate_call': (
        'answer_from_head',
        'call_from_open',
        'failure_from_refusal',
        'flatten_headers',
        'head_from_answer',
        'open_from_call',
        'pair_headers',
        'refusal_from_failure',
    ),
    'translate_member': ('member_from_wire', 'member_to_wire'),
    'translate_policy': (
        'digest_from_wire',
        'digest_to_wire',
        'scope_from_wire',
        'scope_to_wire',
    ),
    'translate_quota': (
        'quota_grant_from_wire',
        'quota_grant_to_wire',
        'quota_request_from_wire',
        'quota_request_to_wire',
    ),
}

__all__, __getattr__ = lazy_exports.build_exports(__name__, MODULES)
