package org.medlarhook.core.key

import java.security.MessageDigest

/** The salted digest by which a key is known. */
internal object KeyDigest {
    private const val ALGORITHM = "SHA-256"

    fun of(salt: ByteArray, keyText: String): ByteArray {
        val digest = MessageDigest.getInstance(ALGORITHM)
        digest.update(salt)
        return digest.digest(keyText.encodeToByteArray())
    }
}
