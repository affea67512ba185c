"""Test the keys of prompt prefixes."""

from __future__ import annotations

import unittest

from corianderlb_core.prefix import (
    PrefixScope,
    adapter_label,
    cache_salt,
    prefix_keys,
    prompt_text,
)

TEXT = "kiln 7 burn history, moisture 12 percent, " * 8
PIECE = 50


def keys(text: str = TEXT, account: str = "kiln", weights: str = "w1") -> tuple:
    """Return the keys of a text under the scope of an account and weights version."""
    return prefix_keys(text, PrefixScope(cache_salt(account, "m"), weights), PIECE)


class TestPrefix(unittest.TestCase):
    """Equal keys mean equal prompts up to the piece, account and weights version."""

    def test_whole_pieces_only(self):
        """An incomplete last piece has no key."""
        self.assertEqual(len(keys("x" * 149)), 2)
        self.assertEqual(len(keys("x" * 150)), 3)
        self.assertEqual(keys("x" * 49), ())

    def test_nested_prefixes_share_keys(self):
        """Two prompts have the same keys up to the piece where they differ."""
        one, other = keys(TEXT + "a" * 60), keys(TEXT + "b" * 60)
        n_shared = len(TEXT) // PIECE
        self.assertEqual(one[:n_shared], other[:n_shared])
        self.assertTrue(set(one[n_shared:]).isdisjoint(other[n_shared:]))

    def test_scope_changes_every_key(self):
        """Guards against answers from the cache of another account or version."""
        scopes = [
            keys(),
            keys(account="yard"),
            keys(weights="w2"),
            prefix_keys(TEXT, PrefixScope(cache_salt("kiln", "n"), "w1"), PIECE),
            prefix_keys(
                TEXT,
                PrefixScope(cache_salt("kiln", "m"), "w1", adapter_label("a", "1")),
                PIECE,
            ),
        ]
        together = [key for found in scopes for key in found]
        self.assertEqual(len(set(together)), len(together))

    def test_prompt_text_of_chat_and_completion(self):
        """Chat and completion bodies give the text that engines cut."""
        chat = {
            "messages": [
                {"role": "system", "content": "a"},
                {"role": "user", "content": [{"type": "text", "text": "b"}]},
            ]
        }
        self.assertEqual(prompt_text(chat), "system\na\nuser\nb\n")
        self.assertEqual(prompt_text({"prompt": "c"}), "c")
        self.assertEqual(prompt_text({"messages": 3}), "")
