//! What a setting is: its names, its default and how its text is read into settings of type `T`.

/// One setting.
pub struct SettingSpec<T> {
    /// Name of the flag without its dashes.
    pub name: &'static str,
    /// Default, none for a setting that must be given.
    pub default: Option<&'static str>,
    /// What is accepted, with its unit.
    pub expected: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// Whether the value is hidden when printed.
    pub is_secret: bool,
    /// Reads a text into the settings; false when it is not accepted.
    pub read: fn(&mut T, &str) -> bool,
}

impl<T> SettingSpec<T> {
    /// Prefix of all environment variables.
    pub const VARIABLE_PREFIX: &'static str = "GERANIUMMAST_";

    /// A setting with a default.
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

    /// A setting that must be given.
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

    /// A setting that must be given and is not printed.
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

    /// Flag as written on the command line.
    pub fn flag(&self) -> String {
        format!("--{}", self.name)
    }

    /// Environment variable of the setting.
    pub fn variable(&self) -> String {
        let name = self.name.replace('-', "_").to_uppercase();
        format!("{}{name}", Self::VARIABLE_PREFIX)
    }
}
