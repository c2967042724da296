//! Definition of one setting: its name, its default and how its value is read.

/// Definition of one setting of a program whose settings have the type `T`.
pub struct SettingSpec<T> {
    /// Name of the flag without the leading dashes.
    pub name: &'static str,
    /// Default value, `None` for a required setting.
    pub default: Option<&'static str>,
    /// Accepted values, with their unit.
    pub expected: &'static str,
    /// Line in the help text.
    pub help: &'static str,
    /// Whether the value is hidden wherever settings are printed.
    pub is_secret: bool,
    /// Stores a value in the settings; false if the value is not accepted.
    pub read: fn(&mut T, &str) -> bool,
}

impl<T> SettingSpec<T> {
    /// Prefix of the environment variables of all settings.
    pub const VARIABLE_PREFIX: &'static str = "GERANIUMMAST_";

    /// Defines a setting with a default.
    pub const fn optional(
        name: &'static str,
        default: &'static str,
        expected: &'static str,
        help: &'static str,
        read: fn(&mut T, &str) -> bool,
    ) -> Self {
        Self {
            name,
            default: Some(default),
            expected,
            help,
            is_secret: false,
            read,
        }
    }

    /// Defines a required setting.
    pub const fn required(
        name: &'static str,
        expected: &'static str,
        help: &'static str,
        read: fn(&mut T, &str) -> bool,
    ) -> Self {
        Self {
            default: None,
            ..Self::optional(name, "", expected, help, read)
        }
    }

    /// Defines a required setting whose value is never printed.
    pub const fn required_secret(
        name: &'static str,
        help: &'static str,
        read: fn(&mut T, &str) -> bool,
    ) -> Self {
        Self {
            is_secret: true,
            ..Self::required(name, "16 to 256 visible ASCII characters", help, read)
        }
    }

    /// Flag of the setting on the command line.
    pub fn flag(&self) -> String {
        format!("--{}", self.name)
    }

    /// Environment variable of the setting.
    pub fn variable(&self) -> String {
        let name = self.name.replace('-', "_").to_uppercase();
        format!("{}{name}", Self::VARIABLE_PREFIX)
    }
}
