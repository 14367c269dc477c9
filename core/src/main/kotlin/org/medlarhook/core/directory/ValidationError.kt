package org.medlarhook.core.directory

/** One error in a proposed change. */
public sealed interface ValidationError {
    /**
     * A name is empty, longer than 128 characters, does not begin with a letter or digit, or contains a character
     * other than letters, digits, dot, dash and underscore.
     */
    public data class BadName(
        val ref: EntityRef,
    ) : ValidationError

    /** A number is below its minimum. */
    public data class OutOfRange(
        val ref: EntityRef,
        val field: String,
        val value: Long,
    ) : ValidationError

    /** An object refers to another one that does not exist after the change. */
    public data class MissingReference(
        val from: EntityRef,
        val to: EntityRef,
    ) : ValidationError

    /** The change puts or deletes the same object twice or more. */
    public data class NamedTwice(
        val ref: EntityRef,
    ) : ValidationError

    /** The object to delete does not exist. */
    public data class NothingToDelete(
        val ref: EntityRef,
    ) : ValidationError

    /** The identifier of a withdrawn or deleted key would be granted again. */
    public data class RetiredKey(
        val ref: EntityRef,
    ) : ValidationError

    /** The salt or digest of a key has the wrong length or is not lower-case hexadecimal. */
    public data class BadDigest(
        val ref: EntityRef,
    ) : ValidationError

    /** A path prefix does not start with a slash. */
    public data class BadPath(
        val ref: EntityRef,
        val pathPrefix: String,
    ) : ValidationError
}
