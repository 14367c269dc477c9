package org.medlarhook.core.serving.config

/** What an [Allowance] counts. */
public enum class AllowanceUnit {
    REQUESTS,

    /** Prompt tokens and the most output tokens that the caller asks for. */
    TOKENS,
}
