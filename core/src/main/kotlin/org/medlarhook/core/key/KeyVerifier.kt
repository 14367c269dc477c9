package org.medlarhook.core.key

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.core.directory.KeyGrant
import java.security.MessageDigest
import java.util.HexFormat

/** Verifies presented keys against the directory, in a time that does not depend on the secret. */
public object KeyVerifier {
    private val NO_GRANT = KeyGrant(name = "", workspace = "", saltHex = "00", digestHex = "00")

    /** Returns the grant in [directory] for the key [text], or why the key is refused. */
    public fun verify(text: String, directory: DirectoryState): Either<KeyRefusal, KeyGrant> {
        val key = PresentedKey.parse(text) ?: return KeyRefusal.MALFORMED.left()
        val grant = directory.keys[key.id]
        val matches = matches(key, grant ?: NO_GRANT)
        return when {
            grant == null -> KeyRefusal.UNKNOWN.left()
            !matches -> KeyRefusal.WRONG_SECRET.left()
            !isValid(grant, directory) -> KeyRefusal.WITHDRAWN.left()
            else -> grant.right()
        }
    }

    /** True if [grant], which was verified earlier, is still valid in [directory]; checked on open streams. */
    public fun isValid(grant: KeyGrant, directory: DirectoryState): Boolean {
        val current = directory.keys[grant.name] ?: return false
        return !current.withdrawn && current == grant && grant.workspace in directory.workspaces
    }

    private fun matches(key: PresentedKey, grant: KeyGrant): Boolean {
        val hex = HexFormat.of()
        val presented = KeyDigest.of(hex.parseHex(grant.saltHex), key.text)
        return MessageDigest.isEqual(presented, hex.parseHex(grant.digestHex))
    }
}
