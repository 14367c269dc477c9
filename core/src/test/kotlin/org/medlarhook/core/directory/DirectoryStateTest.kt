package org.medlarhook.core.directory

import org.junit.jupiter.api.Nested
import org.medlarhook.core.directory.Changes.delete
import org.medlarhook.core.directory.Changes.key
import org.medlarhook.core.directory.Changes.put
import org.medlarhook.core.directory.Changes.state
import org.medlarhook.core.key.KeyRefusal
import org.medlarhook.core.key.KeyVerifier
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals

class DirectoryStateTest {
    private val issued = key()
    private val granted = state(put(1, Workspace("acme")), put(2, issued.grant))

    @Nested
    inner class Versions {
        @Test
        fun `Given an older version, then it is refused`() {
            assertEquals(ApplyFailure.Older(2), granted.apply(put(2, Workspace("late"))).leftOrNull())
        }

        @Test
        fun `Given a gap, then it is refused`() {
            assertEquals(ApplyFailure.Gap(3, 4), granted.apply(put(4)).leftOrNull())
        }
    }

    @Nested
    inner class Keys {
        private val withdrawn = granted.applyAll(listOf(put(3, issued.grant.copy(withdrawn = true))))

        @Test
        fun `Given a granted key, then it is accepted for its workspace`() {
            assertEquals("acme", KeyVerifier.verify(issued.text, granted).getOrNull()?.workspace)
        }

        @Test
        fun `Given a key with another secret, then it is refused`() {
            val forged = issued.text.dropLast(1) + if (issued.text.last() == 'A') 'B' else 'A'
            assertEquals(KeyRefusal.WRONG_SECRET, KeyVerifier.verify(forged, granted).leftOrNull())
        }

        @Test
        fun `Given an unknown or malformed key, then it is refused`() {
            assertEquals(KeyRefusal.UNKNOWN, KeyVerifier.verify(key().text, granted).leftOrNull())
            assertEquals(KeyRefusal.MALFORMED, KeyVerifier.verify("mh_x", granted).leftOrNull())
        }

        @Test
        fun `Given a withdrawn key, then it is refused, also on an open stream and when granted again`() {
            assertEquals(KeyRefusal.WITHDRAWN, KeyVerifier.verify(issued.text, withdrawn).leftOrNull())
            assertEquals(false, KeyVerifier.isValid(issued.grant, withdrawn))
            val again = withdrawn.applyAll(listOf(put(4, issued.grant)))
            assertEquals(KeyRefusal.WITHDRAWN, KeyVerifier.verify(issued.text, again).leftOrNull())
        }

        @Test
        fun `Given a deleted key that is put again, then it stays refused, also after a snapshot`() {
            val deleted = granted.applyAll(listOf(delete(3, EntityKind.KEY, issued.grant.name)))
            val restored = DirectorySnapshot.of(deleted).toState().applyAll(listOf(put(4, issued.grant)))
            assertEquals(KeyRefusal.WITHDRAWN, KeyVerifier.verify(issued.text, restored).leftOrNull())
        }

        @Test
        fun `Given two keys of one workspace, then texts and salts differ and toString omits the secret`() {
            val other = key()
            assertNotEquals(issued.text, other.text)
            assertNotEquals(issued.grant.saltHex, other.grant.saltHex)
            assertEquals(false, issued.text.substringAfter('.') in "$issued ${issued.grant}")
        }
    }
}
