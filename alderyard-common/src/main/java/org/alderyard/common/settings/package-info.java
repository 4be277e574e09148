/**
 * Settings files: the specification of the accepted settings, and the validated values of a file.
 *
 * <p>{@link org.alderyard.common.settings.SettingsSpec} defines the accepted settings, {@link
 * org.alderyard.common.settings.SettingsReader} reads an INI file according to it, and {@link
 * org.alderyard.common.settings.Settings} holds the result.
 */
package org.alderyard.common.settings;
