package org.medlarhook.core.directory

/** One fault of a proposed change. */
public sealed interface ValidationError {
    /** A name is empty, too long, or holds characters beyond letters, digits, dot, dash and underscore. */
    public data class BadName(
        val ref: EntityRef,
    ) : ValidationError

    /** A number is outside of its range. */
    public data class OutOfRange(
        val ref: EntityRef,
        val field: String,
        val value: Long,
    ) : ValidationError

    /** An object names another one that does not exist after the change. */
    public data class MissingReference(
        val from: EntityRef,
        val to: EntityRef,
    ) : ValidationError

    /** The change names the object twice. */
    public data class NamedTwice(
        val ref: EntityRef,
    ) : ValidationError

    /** The object to delete does not exist. */
    public data class NothingToDelete(
        val ref: EntityRef,
    ) : ValidationError

    /** A key identifier that was withdrawn would be granted again. */
    public data class RetiredKey(
        val ref: EntityRef,
    ) : ValidationError

    /** A salt or digest is not hexadecimal of the right length. */
    public data class BadDigest(
        val ref: EntityRef,
    ) : ValidationError

    /** A path prefix does not start with a slash. */
    public data class BadPath(
        val ref: EntityRef,
        val pathPrefix: String,
    ) : ValidationError
}
