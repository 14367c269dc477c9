package org.medlarhook.runtime.settings

/** What is wrong with a settings file. */
public data class SettingsError(
    val detail: String,
)
