package org.medlarhook.core.key

import org.medlarhook.core.directory.KeyGrant

/**
 * A newly issued API key.
 *
 * @property text the key that the caller presents; shown once and never stored.
 * @property grant the record of the key that the directory stores.
 */
public class IssuedKey(
    public val text: String,
    public val grant: KeyGrant,
) {
    override fun toString(): String = "IssuedKey(${grant.name})"
}
