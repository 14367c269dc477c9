package org.medlarhook.core.key

import org.medlarhook.core.directory.KeyGrant
import java.security.SecureRandom
import java.util.Base64
import java.util.HexFormat

/** Issues API keys with random identifiers, secrets and salts. */
public class KeyIssuer(
    private val random: SecureRandom = SecureRandom(),
) {
    /** Issues a key for [workspace]. Only the returned object holds the text of the key. */
    public fun issue(workspace: String): IssuedKey {
        val id = HexFormat.of().formatHex(bytes(ID_BYTES))
        val secret = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(SECRET_BYTES))
        val text = "${PresentedKey.PREFIX}$id.$secret"
        val salt = bytes(SALT_BYTES)
        val grant = KeyGrant(
            name = id,
            workspace = workspace,
            saltHex = HexFormat.of().formatHex(salt),
            digestHex = HexFormat.of().formatHex(KeyDigest.of(salt, text)),
        )
        return IssuedKey(text, grant)
    }

    private fun bytes(count: Int) = ByteArray(count).also { random.nextBytes(it) }

    private companion object {
        const val ID_BYTES = 8
        const val SECRET_BYTES = 32
        const val SALT_BYTES = 16
    }
}
