package org.medlarhook.core.serving.crash

/** What the crash of an upstream may be put down to. */
public sealed interface Suspect {
    /** Unique among the suspects of its kind. */
    public val id: String

    /** A whole request, recognised when it comes again by what it asks for and for whom. */
    public data class Request(
        override val id: String,
    ) : Suspect

    /** A part that several prompts share. */
    public data class Part(
        override val id: String,
    ) : Suspect
}
