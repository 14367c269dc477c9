package org.medlarhook.core.key

import org.medlarhook.core.directory.KeyGrant

/**
 * A new key.
 *
 * @property text what the caller will present; shown once and kept nowhere.
 * @property grant what the directory keeps.
 */
public class IssuedKey(
    public val text: String,
    public val grant: KeyGrant,
) {
    override fun toString(): String = "IssuedKey(${grant.name})"
}
