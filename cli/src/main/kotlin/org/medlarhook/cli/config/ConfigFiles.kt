package org.medlarhook.cli.config

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.medlarhook.core.config.ConfigDocument
import org.medlarhook.core.directory.ChangeValidator
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.core.directory.Site
import org.medlarhook.runtime.settings.SettingsError
import org.medlarhook.runtime.settings.SettingsLoader
import org.medlarhook.runtime.settings.ShapeChecker
import java.nio.file.Path

/** Reads a configuration from a base file and one overlay file for each site. */
internal object ConfigFiles {
    /** Reads and validates all files; the errors of the site defaults and of all overlays are returned together. */
    fun load(base: Path, overlays: List<Path>): Either<List<SettingsError>, ConfigDocument> =
        SettingsLoader.load(listOf(base), ConfigBase.serializer()).flatMap { baseConfig ->
            val defaultErrors =
                ShapeChecker
                    .check(baseConfig.siteDefaults, Site.serializer().descriptor, isPartial = true)
                    .map { SettingsError("$base", "/siteDefaults${it.path}", it.found, it.allowed) }
            val sites = overlays.map { loadSite(baseConfig.siteDefaults, it) }
            val errors = defaultErrors + sites.flatMap { it.leftOrNull().orEmpty() }
            if (errors.isNotEmpty()) errors.left() else validated(base, baseConfig, sites.mapNotNull { it.getOrNull() })
        }

    private fun loadSite(defaults: JsonElement, overlay: Path): Either<List<SettingsError>, Site> =
        SettingsLoader.parse(overlay).mapLeft { listOf(it) }.flatMap { patch ->
            val descriptor = Site.serializer().descriptor
            val overlayErrors = ShapeChecker.check(patch, descriptor, isPartial = true)
            val merged = SettingsLoader.mergePatch(defaults, patch)
            val errors = overlayErrors.ifEmpty { ShapeChecker.check(merged, descriptor) }
            if (errors.isNotEmpty()) {
                errors.map { SettingsError("$overlay", it.path, it.found, it.allowed) }.left()
            } else {
                Json.decodeFromJsonElement(Site.serializer(), merged).right()
            }
        }

    private fun validated(
        base: Path,
        config: ConfigBase,
        sites: List<Site>,
    ): Either<List<SettingsError>, ConfigDocument> {
        val document = ConfigDocument(config.workspaces, config.models, config.services, sites)
        val change = DirectoryChange(1, author = "check", acceptedAtMs = 0, puts = document.entities())
        val errors = ChangeValidator.validate(DirectoryState(), change).map { SettingsError("$base", "", "$it") }
        return if (errors.isEmpty()) document.right() else errors.left()
    }
}
