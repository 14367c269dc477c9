package org.medlarhook.core.key

import java.security.MessageDigest

/** Computes the salted SHA-256 digest under which a key is stored. */
internal object KeyDigest {
    private const val ALGORITHM = "SHA-256"

    fun of(salt: ByteArray, keyText: String): ByteArray {
        val digest = MessageDigest.getInstance(ALGORITHM)
        digest.update(salt)
        return digest.digest(keyText.encodeToByteArray())
    }
}
